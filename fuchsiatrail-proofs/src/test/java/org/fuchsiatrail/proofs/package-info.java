/**
 * Tests, on virtual time with fixed seeds, of the promises that docs/PROOFS.md lists. Each test that mutations.txt
 * names fails when the mechanism on its line is disabled.
 */
package org.fuchsiatrail.proofs;
