/** Distributed tracing. */
package org.fuchsiatrail.daemon.observe;
