/**
 * Exchange between entry processes: MessagePack frames over TCP.
 */
@NullMarked
package org.lovagevale.peer;

import org.jspecify.annotations.NullMarked;
