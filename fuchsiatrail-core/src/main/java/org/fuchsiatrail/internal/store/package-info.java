/** Client of the platform's store and the format of its documents. */
package org.fuchsiatrail.internal.store;
