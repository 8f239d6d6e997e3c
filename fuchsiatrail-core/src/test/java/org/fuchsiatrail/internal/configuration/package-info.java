/** Tests of the configuration package. */
package org.fuchsiatrail.internal.configuration;
