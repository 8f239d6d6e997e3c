/** Tests of the package of the same name. */
package org.fuchsiatrail.internal.store;
