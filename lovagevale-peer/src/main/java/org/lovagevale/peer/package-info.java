/**
 * Transport of messages between entry processes as MessagePack frames over TCP.
 */
@NullMarked
package org.lovagevale.peer;

import org.jspecify.annotations.NullMarked;
