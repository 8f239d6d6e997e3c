/** Calls the platform's store. */
package org.fuchsiatrail.internal.store;
