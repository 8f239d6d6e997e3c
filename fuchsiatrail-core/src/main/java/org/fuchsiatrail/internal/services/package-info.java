/** Runs calls to plain services. */
package org.fuchsiatrail.internal.services;
