package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: serves the items that the operator and the servers
 * have written. A sound store: it loses nothing and answers after 4 ms.
 */
final class Store {

	private static final int PAGE_ITEMS = 500;

	private static final int PAGE_BYTES = 1_000_000;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final ServerSocket listening;

	private final String host;

	private long revision = 100;

	private record Item(String value, long revision, long createRevision) {
	}

	Store() throws IOException {
		this.host = Lab.newHost();
		this.listening = new ServerSocket(0, 50, InetAddress.getByName(this.host));
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return this.host + ":" + this.listening.getLocalPort();
	}

	synchronized void put(String key, String value) {
		Item known = this.items.get(key);
		this.revision++;
		this.items.put(key, new Item(value, this.revision, (known != null) ? known.createRevision() : this.revision));
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listening.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			Lab.note("store ended: " + ex.getMessage());
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				Http.readBody(in, head);
				Lab.sleep(4);
				byte[] body = respond(head.startWords()[1]).getBytes(StandardCharsets.UTF_8);
				String responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
						+ body.length + "\r\n\r\n";
				socket.getOutputStream().write(responseHead.getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(body);
			}
		}
		catch (IOException ex) {
			// The gateway closed the connection.
		}
	}

	// Only the range is implemented, which is the only call of the gateway.
	private synchronized String respond(String target) {
		Map<String, String> query = query(target);
		String prefix = query.getOrDefault("Prefix", "");
		String after = query.getOrDefault("after", "");
		List<String> found = new ArrayList<>();
		boolean more = false;
		int bytes = 0;
		for (Map.Entry<String, Item> entry : this.items.entrySet()) {
			if (!entry.getKey().startsWith(prefix) || entry.getKey().compareTo(after) <= 0) {
				continue;
			}
			if (found.size() == PAGE_ITEMS || bytes >= PAGE_BYTES) {
				more = true;
				break;
			}
			Item item = entry.getValue();
			String value = Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8));
			bytes += value.length();
			found.add("{\"Key\":\"" + entry.getKey() + "\",\"Value\":\"" + value + "\",\"Revision\":" + item.revision()
					+ ",\"CreateRev\":" + item.createRevision() + ",\"Lease\":0}");
		}
		return "{\"items\":[" + String.join(",", found) + "],\"HasMore\":" + more + ",\"AsOf\":" + this.revision + "}";
	}

	private static Map<String, String> query(String target) {
		Map<String, String> query = new HashMap<>();
		int start = target.indexOf('?');
		if (start >= 0) {
			for (String pair : target.substring(start + 1).split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0],
						(parts.length > 1) ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
			}
		}
		return query;
	}

}
