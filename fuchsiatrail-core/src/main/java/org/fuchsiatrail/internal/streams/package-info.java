/** Runs chat requests from arrival to the final answer. */
package org.fuchsiatrail.internal.streams;
