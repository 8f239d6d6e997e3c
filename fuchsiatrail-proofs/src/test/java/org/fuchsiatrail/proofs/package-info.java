/**
 * Tests of the promises that docs/PROOFS.md lists, on virtual time and from seeds. Each test that mutations.txt names
 * fails when the mechanism on its line is disabled.
 */
package org.fuchsiatrail.proofs;
