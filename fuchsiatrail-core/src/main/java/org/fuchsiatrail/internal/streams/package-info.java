/** Runs chat requests from receipt to the final answer. */
package org.fuchsiatrail.internal.streams;
