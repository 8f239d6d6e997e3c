/** Tests of fair queueing, retry budgets and retry reservations. */
package org.fuchsiatrail.internal.limits;
