@NullMarked
package org.lovagevale.core.response;

import org.jspecify.annotations.NullMarked;
