/** Queues, shares and budgets. */
package org.fuchsiatrail.internal.limits;
