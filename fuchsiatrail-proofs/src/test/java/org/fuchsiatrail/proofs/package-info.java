/** Proofs of the promises, on virtual time and from seeds; each fails when its mechanism is taken out. */
package org.fuchsiatrail.proofs;
