/** Tests of the forwarding decisions, each on the load pattern that it answers. */
package org.fuchsiatrail.internal.forwarding;
