/** Tests that start the router's program as a process of its own. */
package org.fuchsiatrail.processes;
