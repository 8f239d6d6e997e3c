/** Ledger that lets a call run at most once: claims, verdicts and recorded outcomes. */
package org.fuchsiatrail.internal.ledger;
