/** Planning, confirmation, propagation and adoption of configurations. */
package org.fuchsiatrail.internal.configuration;
