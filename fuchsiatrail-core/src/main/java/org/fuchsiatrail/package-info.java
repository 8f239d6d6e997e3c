/**
 * The public surface of the fuchsiatrail core: ids, messages, settings, and the one entry point
 * {@link org.fuchsiatrail.Fuchsiatrail}. Everything under {@code internal} may change at any time.
 */
package org.fuchsiatrail;
