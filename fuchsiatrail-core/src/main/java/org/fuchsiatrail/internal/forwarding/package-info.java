/** The systems behind {@link org.fuchsiatrail.forwarding.ForwardingCore}. */
package org.fuchsiatrail.internal.forwarding;
