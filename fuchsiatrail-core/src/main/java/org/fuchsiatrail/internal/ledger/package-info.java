/** Decides who may run a call that must not be repeated. */
package org.fuchsiatrail.internal.ledger;
