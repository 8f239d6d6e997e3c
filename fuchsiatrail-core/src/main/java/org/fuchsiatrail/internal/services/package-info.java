/** Runs calls to services, which are upstreams other than engines. */
package org.fuchsiatrail.internal.services;
