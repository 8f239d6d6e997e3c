/** What tests observe of other processes. */
package org.fuchsiatrail.standins.process;
