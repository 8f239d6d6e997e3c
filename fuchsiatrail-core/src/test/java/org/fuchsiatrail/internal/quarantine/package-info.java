/** Tests of the quarantine of requests that crash engines. */
package org.fuchsiatrail.internal.quarantine;
