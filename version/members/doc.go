// Package members keeps which instances of the fleet are alive, by what was heard from them and by what others have heard.
package members
