/** Tests of the forwarding decisions, each with the load pattern that the decision is designed for. */
package org.fuchsiatrail.internal.forwarding;
