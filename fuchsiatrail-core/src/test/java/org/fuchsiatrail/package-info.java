/** Tests of the dependency rules of the core. */
package org.fuchsiatrail;
