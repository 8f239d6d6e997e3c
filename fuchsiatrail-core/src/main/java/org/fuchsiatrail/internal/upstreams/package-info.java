/** Tracks the state of engines and services. */
package org.fuchsiatrail.internal.upstreams;
