/** Structured log lines and metrics. */
package org.fuchsiatrail.wire.observe;
