/** Issues load orders to engines. */
package org.fuchsiatrail.internal.orders;
