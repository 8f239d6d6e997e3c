/** Serving callers over HTTP. */
package org.fuchsiatrail.daemon.callers;
