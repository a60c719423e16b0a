/**
 * Parts shared by the HTTP endpoints of the stand-ins.
 */
@NullMarked
package org.lovagevale.standins.http;

import org.jspecify.annotations.NullMarked;
