/** Benchmarks of routing, limits, the ledger and the cost of a router; most drive it through its tick interface. */
package org.fuchsiatrail.bench;
