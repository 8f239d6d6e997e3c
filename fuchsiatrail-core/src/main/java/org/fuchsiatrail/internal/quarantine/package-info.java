/** Detects and quarantines requests that crash engines. */
package org.fuchsiatrail.internal.quarantine;
