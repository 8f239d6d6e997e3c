/** How a program embeds a router. */
package org.fuchsiatrail.examples;
