/** Membership table of the routers, with failure detection by heartbeats. */
package org.fuchsiatrail.internal.membership;
