package org.fuchsiatrail.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.function.Supplier;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.fuchsiatrail.wire.observe.LogLines;

/**
 * Supplies the TLS context of a certificate and a key in PEM files and reloads them when they change.
 *
 * <p>When the changed files cannot be read, the previous context stays in use.
 */
final class ReloadingTlsContext implements Supplier<SslContext> {

    private final Path certificate;
    private final Path key;
    private SslContext context;
    private FileTime loadedModificationTime;

    ReloadingTlsContext(Path certificate, Path key) throws IOException {
        this.certificate = certificate;
        this.key = key;
        this.loadedModificationTime = lastModified();
        this.context = buildContext();
    }

    /** Returns a context for the given files, or null when the certificate path is empty. */
    static ReloadingTlsContext of(String certificate, String key) throws IOException {
        return certificate.isEmpty() ? null : new ReloadingTlsContext(Path.of(certificate), Path.of(key));
    }

    @Override
    public synchronized SslContext get() {
        try {
            FileTime modified = lastModified();
            if (!modified.equals(loadedModificationTime)) {
                // Set before loading, so that unreadable files are not loaded again until they change.
                loadedModificationTime = modified;
                context = buildContext();
                LogLines.info("tls", "TLS certificate reloaded.", Map.of("file", certificate));
            }
        } catch (IOException | RuntimeException e) {
            LogLines.error("tls", "Failed to reload the TLS certificate; the previous one stays in use.", e);
        }
        return context;
    }

    private FileTime lastModified() throws IOException {
        FileTime certificateTime = Files.getLastModifiedTime(certificate);
        FileTime keyTime = Files.getLastModifiedTime(key);
        return certificateTime.compareTo(keyTime) > 0 ? certificateTime : keyTime;
    }

    private SslContext buildContext() throws IOException {
        return SslContextBuilder.forServer(certificate.toFile(), key.toFile()).build();
    }
}
