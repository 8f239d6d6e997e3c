/** Structured logging and metrics. */
package org.fuchsiatrail.wire.observe;
