/** Logs, metrics and traces. */
package org.fuchsiatrail.daemon.observe;
