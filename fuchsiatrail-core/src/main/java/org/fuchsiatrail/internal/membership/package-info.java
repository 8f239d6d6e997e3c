/** Keeps which routers are alive. */
package org.fuchsiatrail.internal.membership;
