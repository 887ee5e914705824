// Package evacuation holds the failure domains whose engines get no requests because operators have evacuated them.
package evacuation
