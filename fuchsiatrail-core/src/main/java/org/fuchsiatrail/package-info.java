/**
 * The public API of the fuchsiatrail core: ids, messages, settings, and the entry point
 * {@link org.fuchsiatrail.Fuchsiatrail}. Packages under {@code internal} are not part of the API and may change at any
 * time.
 */
package org.fuchsiatrail;
