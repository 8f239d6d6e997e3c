/**
 * Decisions on what is sent, waits or is refused while upstreams are full.
 *
 * <p>The decisions are pure functions of immutable views. The classes that keep what was observed have no clock, socket
 * or log: their callers pass the time.
 */
package org.fuchsiatrail.internal.admission;
