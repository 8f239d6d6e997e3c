/** Selects the engine for a request. */
package org.fuchsiatrail.internal.routing;
