/** Replays of the loads that the admission decisions answer. */
package org.fuchsiatrail.internal.admission;
