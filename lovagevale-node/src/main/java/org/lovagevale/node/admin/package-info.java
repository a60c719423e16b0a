/**
 * The HTTP server of the admin port, for operators.
 */
@NullMarked
package org.lovagevale.node.admin;

import org.jspecify.annotations.NullMarked;
