/** Fair queueing between customers, retry budgets and retry reservations. */
package org.fuchsiatrail.internal.limits;
