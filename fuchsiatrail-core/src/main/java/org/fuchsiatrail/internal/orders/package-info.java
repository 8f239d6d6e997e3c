/** Orders engines to load models. */
package org.fuchsiatrail.internal.orders;
