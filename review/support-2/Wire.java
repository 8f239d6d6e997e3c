import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on loopback: a server with a thread for each connection, and the reading of messages. */
final class Wire {

    private Wire() {}

    /** A request as it was received. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String parameter(String name) {
            int query = target.indexOf('?');
            if (query >= 0) {
                for (String pair : target.substring(query + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(
                                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }
    }

    /** A connection of a server. */
    static final class Connection {
        final Socket socket;
        final InputStream input;
        final OutputStream output;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.input = new BufferedInputStream(socket.getInputStream());
            this.output = socket.getOutputStream();
        }

        void answer(int status, Map<String, String> headers, String body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.writeBytes(bytes);
            write(whole.toByteArray());
        }

        void write(byte[] bytes) throws IOException {
            output.write(bytes);
            output.flush();
        }

        /** Returns whether the other end has closed; only while it is to send nothing. */
        boolean isClosedByPeer() {
            try {
                int timeout = socket.getSoTimeout();
                socket.setSoTimeout(1);
                try {
                    input.mark(1);
                    int next = input.read();
                    input.reset();
                    return next < 0;
                } catch (java.net.SocketTimeoutException e) {
                    return false;
                } finally {
                    socket.setSoTimeout(timeout);
                }
            } catch (IOException e) {
                return true;
            }
        }

        /** Resets the connection. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    /** Handles one request; it may leave it unanswered or close the connection. */
    interface Handler {
        void handle(Request request, Connection connection) throws IOException, InterruptedException;
    }

    /** A server on a free port of 127.0.0.1. */
    static final class Server implements AutoCloseable {
        final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private final Handler handler;
        private volatile ServerSocket listener;
        private final int port;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            accept(listener);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void accept(ServerSocket socket) {
            Thread.ofVirtual().start(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket accepted = socket.accept();
                        accepted.setTcpNoDelay(true);
                        Connection connection = new Connection(accepted);
                        connections.add(connection);
                        Thread.ofVirtual().start(() -> serve(connection));
                    } catch (IOException e) {
                        // The server is closed.
                        return;
                    }
                }
            });
        }

        private void serve(Connection connection) {
            try {
                for (Request request = readRequest(connection.input);
                        request != null;
                        request = readRequest(connection.input)) {
                    handler.handle(request, connection);
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            } finally {
                connections.remove(connection);
                try {
                    connection.socket.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }

        /** Ends like a process that crashes: nothing listens any more, and all connections are reset. */
        void crash() throws IOException {
            listener.close();
            connections.forEach(Connection::reset);
        }

        /** Listens again at the same address. */
        void restart() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", port), 512);
            listener = socket;
            accept(socket);
        }

        @Override
        public void close() throws IOException {
            crash();
        }
    }

    static Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        return new Request(parts[0], parts[1], headers, readBody(input, headers));
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
        return null;
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return headers;
    }

    static byte[] readBody(InputStream input, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(input); chunk.length > 0; chunk = readChunk(input)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended inside a body");
        }
        return body;
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream input) throws IOException {
        String size = readLine(input);
        if (size == null) {
            throw new IOException("the connection ended between chunks");
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] chunk = input.readNBytes(length);
        if (chunk.length < length || readLine(input) == null) {
            throw new IOException("the connection ended inside a chunk");
        }
        return chunk;
    }

    /** What a caller received; the status is 0 if the connection ended without a whole answer. */
    record Reply(int status, Map<String, String> headers, String body, List<String> events, long millis) {}

    /** Sends one request on a new connection and reads its answer. */
    static Reply call(int port, String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
        long begun = System.nanoTime();
        List<String> events = new ArrayList<>();
        Map<String, String> received = Map.of();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.writeBytes(body);
            socket.getOutputStream().write(whole.toByteArray());
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String line = readLine(input);
            if (line == null) {
                return new Reply(0, received, "closed", events, millisSince(begun));
            }
            int status = Integer.parseInt(line.split(" ")[1]);
            received = readHeaders(input);
            boolean stream = received.getOrDefault("Content-Type", "").startsWith("text/event-stream");
            if (!stream) {
                String text = new String(readBody(input, received), StandardCharsets.UTF_8);
                return new Reply(status, received, text, events, millisSince(begun));
            }
            ByteArrayOutputStream rest = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(input); chunk.length > 0; chunk = readChunk(input)) {
                rest.writeBytes(chunk);
                String text = rest.toString(StandardCharsets.UTF_8);
                int end = text.lastIndexOf("\n\n");
                if (end >= 0) {
                    events.addAll(List.of(text.substring(0, end).split("\n\n")));
                    rest.reset();
                    rest.writeBytes(text.substring(end + 2).getBytes(StandardCharsets.UTF_8));
                }
            }
            return new Reply(status, received, "", events, millisSince(begun));
        } catch (IOException | RuntimeException e) {
            return new Reply(0, received, String.valueOf(e.getMessage()), events, millisSince(begun));
        }
    }

    static long millisSince(long begunNanos) {
        return (System.nanoTime() - begunNanos) / 1_000_000;
    }

    static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int index = 0; index < namesAndValues.length; index += 2) {
            headers.put(namesAndValues[index], namesAndValues[index + 1]);
        }
        return headers;
    }
}
