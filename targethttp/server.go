package targethttp

import (
	"io"
	"net/http"
)

const (
	// AnnouncePath is the path at which a daemon accepts announcements.
	AnnouncePath = "/announce"

	// maxAnnouncementBytes is the maximum size of an announcement in bytes.
	maxAnnouncementBytes = 16 << 10
)

// Server is the http.Handler for the announcements of a target.
type Server struct {
	// OnAnnounce is called with each well-formed announcement, on the goroutine
	// of its HTTP request.
	OnAnnounce func(Announcement)
}

// NewServer returns a Server that ignores announcements until OnAnnounce is set.
func NewServer() *Server {
	return &Server{OnAnnounce: func(Announcement) {}}
}

// ServeHTTP responds with 204 to a well-formed announcement and with 400 to any other.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != AnnouncePath {
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "announce with POST", http.StatusMethodNotAllowed)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := DecodeAnnouncement(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.OnAnnounce(a)
	w.WriteHeader(http.StatusNoContent)
}
