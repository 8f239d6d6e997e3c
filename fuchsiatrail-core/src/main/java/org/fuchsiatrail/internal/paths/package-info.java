/** Decides which paths of a router are lost, which upstreams are dark, and which attempts are ended for that. */
package org.fuchsiatrail.internal.paths;
