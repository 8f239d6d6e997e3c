/** The implementation of {@link org.fuchsiatrail.forwarding.ForwardingCore}. */
package org.fuchsiatrail.internal.forwarding;
