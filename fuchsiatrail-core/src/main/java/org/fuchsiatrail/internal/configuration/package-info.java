/** Plans, confirms, spreads and adopts configurations. */
package org.fuchsiatrail.internal.configuration;
