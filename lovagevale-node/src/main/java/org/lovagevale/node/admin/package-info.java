/**
 * HTTP for operators.
 */
@NullMarked
package org.lovagevale.node.admin;

import org.jspecify.annotations.NullMarked;
