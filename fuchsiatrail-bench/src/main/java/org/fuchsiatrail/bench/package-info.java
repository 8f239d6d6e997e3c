/** Measures routing, limits, the ledger and the cost of a router, through the tick seam. */
package org.fuchsiatrail.bench;
